#ifndef BORAGEPADDLE_LIMITS_CREDIT_INQUIRY_H_
#define BORAGEPADDLE_LIMITS_CREDIT_INQUIRY_H_

#include "absl/time/time.h"
#include "boragepaddle/limits/credit_node.h"
#include "boragepaddle/schema/messages.h"

// Entry side of a CreditNode: which node is asked for credit, and what happens
// to the requests that wait for it.

namespace boragepaddle::limits {

/// Answers an entry node as owner or deputy.
schema::CreditGrant Answer(CreditNode& node,
                           const schema::CreditRequest& request,
                           absl::Time now);

/// Ends the inquiry of an account that has no rate limit any more.
void DropAccount(CreditNode& node,
                 AccountCredit& account,
                 absl::Time now,
                 CreditOutput& output);

/// Gives up inquiries and waits that took too long.
void AdvanceInquiries(CreditNode& node, absl::Time now, CreditOutput& output);

}  // namespace boragepaddle::limits

#endif  // BORAGEPADDLE_LIMITS_CREDIT_INQUIRY_H_
