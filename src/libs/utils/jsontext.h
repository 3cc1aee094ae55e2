#pragma once

#include "error.h"

#include <nlohmann/json.hpp>

#include <set>
#include <string>
#include <string_view>

// Conversion between JSON documents and their encodings. A document that comes
// from another process may hold anything. It is decoded here, which never
// throws; a document that was decoded here can be copied and encoded again.
namespace oriolebay::utils {

/// Maximum number of levels of arrays and objects. Copies and destruction of a
/// document use the stack of the thread for each level.
constexpr int MaxJsonDepth = 64;

/// Decodes JSON text. Fails with ErrorKind::BadMessage if it is not one valid
/// document of at most MaxJsonDepth levels whose texts are UTF-8.
Result<nlohmann::json> parseJson(std::string_view text);
/// Does the same, and fails as well if the document has more than maxValues
/// values: arrays, objects and what they hold. For text of senders that are not
/// trusted: a document of small values takes many times the memory of its text.
Result<nlohmann::json> parseBoundedJson(std::string_view text,
                                        size_t maxValues);
/// Does the same, except that an array or object below MaxJsonDepth levels
/// becomes null. For lists whose other members have to be read all the same.
Result<nlohmann::json> parseJsonToDepth(std::string_view text);
/// Does what parseJson() does for CBOR. The members that byteMembers names may
/// hold bytes that are not UTF-8.
Result<nlohmann::json> parseCbor(std::string_view bytes,
                                 const std::set<std::string> &byteMembers = {});

/// Encodes a document as JSON text. Bytes that are not UTF-8 are replaced.
std::string toJsonText(const nlohmann::json &document);

} // namespace oriolebay::utils
