#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include "boragepaddle/config/diff.h"
#include "boragepaddle/config/versioned_config.h"
#include "tests/unit/config_folders.h"

namespace boragepaddle::config {
namespace {

// Random folders. std::mt19937 gives the same sequence on every platform.
class RandomFolders {
 public:
  size_t Below(size_t bound) { return this->engine() % bound; }

  std::string Pick(const std::vector<std::string>& from) {
    return from[this->Below(from.size())];
  }

  Folder Next() {
    Folder folder;
    for (const char* member : {"a", "b", "c", "d"}) {
      if (this->Below(10) > 0) {
        folder[absl::StrCat(this->Below(30), member)] = this->File(member);
      }
    }
    return folder;
  }

 private:
  std::string File(const std::string& member) {
    std::string text =
        FileOf(this->Below(20) == 0 ? this->Pick({"a", "b", "c"}) : member,
               this->Approvals(),
               absl::StrCat(this->RandomService(member), ",",
                            this->RandomService(member + "2")));
    for (size_t cuts = this->Below(8) == 0 ? 3 : 0; cuts > 0; --cuts) {
      text[this->Below(text.size())] = static_cast<char>(this->Below(256));
    }
    return text;
  }

  std::string Approvals() {
    return this->Pick({"", R"({"member": "c", "order": 3})",
                       R"({"member": "d", "order": 3})",
                       R"({"member": "c", "order": 3},
                          {"member": "d", "order": 4})",
                       R"({"member": "d", "order": 4})"});
  }

  std::string RandomService(const std::string& name) {
    std::string operations;
    for (const char* operation : {"x", "y"}) {
      absl::StrAppend(&operations, operations.empty() ? "" : ",",
                      Operation(operation, this->Rest()));
    }
    return Service(this->Below(20) == 0 ? "a" : name, operations);
  }

  std::string Rest() {
    const std::string calls =
        absl::StrCat(R"(, "calls": [")", this->Pick({"a", "b", "c", "d2", "e"}),
                     ".", this->Pick({"x", "y"}), R"("])");
    return this->Pick({"", "", calls, R"(, "at_most_once": true)",
                       R"(, "idempotent": true, "retry_on_unknown": true)",
                       absl::StrCat(R"(, "idempotent": true)", calls)});
  }

  std::mt19937 engine{20261204};
};

std::string ErrorText(const ConfigErrors& errors) {
  std::string text;
  for (const ConfigError& error : errors) {
    absl::StrAppend(&text, Describe(error), "\n");
  }
  return text;
}

// Guards against a result that depends on the order in which files or earlier
// versions arrived, and against crashes on corrupted files.
TEST_CASE("config fuzz: the result depends only on the folder") {
  RandomFolders random;
  VersionedConfig history(Founders(), 100);
  size_t accepted = 0;
  for (uint64_t version = 1; version <= 3000; ++version) {
    const Folder folder = random.Next();
    const std::string expected_errors =
        ErrorText(CheckFolder(folder, Founders()));
    std::vector<std::pair<std::string, std::string>> files(folder.begin(),
                                                           folder.end());
    for (size_t index = files.size(); index > 1; --index) {
      std::swap(files[index - 1], files[random.Below(index)]);
    }
    Folder permuted;
    for (const auto& [name, text] : files) {
      permuted[name] = text;
    }
    CHECK(ErrorText(CheckFolder(permuted, Founders())) == expected_errors);
    CHECK(DigestOf(permuted) == DigestOf(folder));

    const OfferResult offer = history.Offer(version, folder, absl::UnixEpoch());
    CHECK(ErrorText(offer.errors) == expected_errors);
    accepted += offer.outcome == OfferOutcome::kAccepted ? 1 : 0;
  }
  // The test is meaningful only if both results are frequent.
  CHECK(accepted > 100);
  CHECK(accepted < 2900);
}

}  // namespace
}  // namespace boragepaddle::config
