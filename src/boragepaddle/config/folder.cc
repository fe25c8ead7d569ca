#include "boragepaddle/config/folder.h"

#include <xxhash.h>

#include <utility>

#include "absl/strings/string_view.h"

namespace boragepaddle::config {

namespace {

// Must never change, as nodes of different builds compare digests.
constexpr XXH64_hash_t kDigestSeed = 0;

// Appends the digest of one string. Hashing names and texts separately ensures
// that moving bytes between them changes the folder's digest.
void AppendDigest(absl::string_view text, std::string* out) {
  XXH64_canonical_t canonical;
  XXH64_canonicalFromHash(
      &canonical, XXH3_64bits_withSeed(text.data(), text.size(), kDigestSeed));
  out->append(reinterpret_cast<const char*>(canonical.digest),
              sizeof(canonical.digest));
}

}  // namespace

uint64_t DigestOf(const Folder& folder) {
  std::string digests;
  digests.reserve(folder.size() * 2 * sizeof(XXH64_canonical_t));
  for (const auto& [name, text] : folder) {
    AppendDigest(name, &digests);
    AppendDigest(text, &digests);
  }
  return XXH3_64bits_withSeed(digests.data(), digests.size(), kDigestSeed);
}

Folder ApplyFiles(Folder base, absl::Span<const schema::FileText> changes) {
  for (const schema::FileText& file : changes) {
    if (file.removed) {
      base.erase(file.name);
    } else {
      base[file.name] = file.text;
    }
  }
  return base;
}

std::vector<schema::FileText> ChangedFiles(const Folder& from,
                                           const Folder& to) {
  // A map, so that removed and changed files are sorted by name together.
  std::map<std::string, schema::FileText> changes;
  for (const auto& [name, text] : from) {
    if (to.count(name) == 0) {
      changes[name] = {name, "", /*removed=*/true};
    }
  }
  for (const auto& [name, text] : to) {
    const auto found = from.find(name);
    if (found == from.end() || found->second != text) {
      changes[name] = {name, text, /*removed=*/false};
    }
  }
  std::vector<schema::FileText> list;
  list.reserve(changes.size());
  for (auto& [name, file] : changes) {
    list.push_back(std::move(file));
  }
  return list;
}

}  // namespace boragepaddle::config
