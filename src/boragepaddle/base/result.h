#ifndef BORAGEPADDLE_BASE_RESULT_H_
#define BORAGEPADDLE_BASE_RESULT_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

namespace boragepaddle::base {

/// A value or a typed error. Reading the wrong one terminates, since errors are
/// not thrown between modules.
template <typename T, typename E>
using Result = BOOST_OUTCOME_V2_NAMESPACE::
    basic_result<T, E, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

}  // namespace boragepaddle::base

#endif  // BORAGEPADDLE_BASE_RESULT_H_
