#include "crowdmessages.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <vector>

namespace oriolebay::testing_system {

using nlohmann::json;

namespace {

constexpr size_t ChunkBytes = 65536;
constexpr size_t PieceBytes = 1024;
/// Longest text and names of a job.
constexpr size_t PayloadBytes = 4000;
constexpr size_t NameBytes = 200;

std::string withLength(const std::string &head, size_t bytes) {
  return head + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

std::string chunked(const std::string &head) {
  return head + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(const std::string &data) {
  char size[17];
  std::snprintf(size, sizeof(size), "%zx", data.size());
  return std::string(size) + "\r\n" + data + "\r\n";
}

std::string repeated(const std::string &text, size_t times) {
  std::string out;
  for (size_t n = 0; n < times; ++n)
    out += text;
  return out;
}

/// Returns the text, which is JSON, with spaces up to the largest size.
std::string padded(std::string text) {
  text.resize(MaxCallBodyBytes, ' ');
  return text;
}

CrowdMessage unfinishedInPieces(const std::string &head, size_t pieceBytes) {
  return {withLength(head, MaxCallBodyBytes), std::string(pieceBytes, ' '),
          MaxCallBodyBytes / pieceBytes - 1, std::string(pieceBytes - 1, ' ')};
}

std::string manySmallSteps() {
  constexpr size_t Steps = 13000;
  return padded(R"({"spec":"x","steps":[)" +
                repeated(R"({"estimateMs":150},)", Steps - 1) +
                R"({"estimateMs":150}]})");
}

std::string deeplyNested() {
  const std::string begin = R"({"spec":"x","steps":)";
  const size_t levels = (MaxCallBodyBytes - begin.size() - 1) / 2;
  return padded(begin + std::string(levels, '[') + std::string(levels, ']') +
                "}");
}

} // namespace

CrowdMessage unfinishedWhole(const std::string &head) {
  return unfinishedInPieces(head, ChunkBytes);
}

CrowdMessage unfinishedPieces(const std::string &head) {
  return unfinishedInPieces(head, PieceBytes);
}

CrowdMessage unfinishedChunks(const std::string &head) {
  return {chunked(head), chunk(std::string(ChunkBytes, ' ')),
          MaxCallBodyBytes / ChunkBytes};
}

CrowdMessage unfinishedTinyChunks(const std::string &head) {
  constexpr size_t ChunksPerPart = 1024;
  constexpr size_t Bytes = 65536;
  return {chunked(head), repeated(chunk(" "), ChunksPerPart),
          Bytes / ChunksPerPart};
}

CrowdMessage slowBody(const std::string &head) {
  return {withLength(head, MaxCallBodyBytes), std::string(PieceBytes, ' '), 1,
          "", " "};
}

CrowdMessage slowSmallBody(const std::string &head) {
  return {withLength(head, 2 * PieceBytes), std::string(PieceBytes, ' '), 1, "",
          " "};
}

CrowdMessage slowHeaders(const std::string &head) {
  return {head + "X-Filler: ", "", 0, "", "x"};
}

CrowdMessage announcedFarOverLimit(const std::string &head) {
  constexpr size_t AnnouncedBytes = 10'000'000'000;
  constexpr size_t SentBytes = 4'000'000;
  return {withLength(head, AnnouncedBytes), std::string(ChunkBytes, ' '),
          SentBytes / ChunkBytes};
}

CrowdMessage chunksWithoutEnd(const std::string &head) {
  constexpr size_t SentBytes = 16'000'000;
  return {chunked(head), chunk(std::string(ChunkBytes, ' ')),
          SentBytes / ChunkBytes};
}

CrowdMessage headersWithoutEnd(const std::string &head) {
  constexpr size_t Lines = 1000;
  return {head, "X-Filler: " + std::string(1000, 'x') + "\r\n", Lines};
}

CrowdMessage unreadCalls(const std::string &head) {
  constexpr size_t SentBytes = 1'000'000;
  const std::string call = head + "\r\n";
  return {"", call, SentBytes / call.size(), "", "", false};
}

CrowdMessage callOfManySteps(const std::string &head) {
  return inOnePart(head, manySmallSteps());
}

CrowdMessage callOfNestedBody(const std::string &head) {
  return inOnePart(head, deeplyNested());
}

CrowdMessage inOnePart(const std::string &head, const std::string &body) {
  return {withLength(head, body.size()), body, 1};
}

CrowdMessage inSmallPieces(const std::string &head, const std::string &body) {
  // The padding goes in pieces of its own.
  const size_t textBytes = body.find_last_not_of(' ') + 1;
  const size_t pieces = (body.size() - textBytes) / PieceBytes;
  const size_t rest = body.size() - textBytes - pieces * PieceBytes;
  return {withLength(head, body.size()) + body.substr(0, textBytes),
          std::string(PieceBytes, ' '), pieces, std::string(rest, ' ')};
}

CrowdMessage inOneChunk(const std::string &head, const std::string &body) {
  return {chunked(head), chunk(body), 1, "0\r\n\r\n"};
}

CrowdMessage inTinyChunks(const std::string &head, const std::string &body) {
  std::string chunks;
  for (const char byte : body)
    chunks += chunk(std::string(1, byte));
  return {chunked(head), chunks, 1, "0\r\n\r\n"};
}

std::string largeShortJob() {
  return padded(R"({"spec":"1","steps":[{"cpu":1000,"estimateMs":150}]})");
}

std::string smallJob() {
  return json{{"spec", std::string(PayloadBytes, 'x')},
              {"steps", {{{"cpu", 1000}, {"estimateMs", 150}}}}}
      .dump();
}

std::string largestJob() {
  constexpr int Steps = 64;
  constexpr int TasksPerStep = 64;
  json steps = json::array();
  std::vector<int> earlier;
  for (int n = 0; n < Steps; ++n) {
    steps.push_back({{"count", TasksPerStep},
                     {"cpu", 1000},
                     {"memMb", 1000},
                     {"gpu", 1},
                     {"estimateMs", 150},
                     {"after", earlier},
                     {"savesProgress", true},
                     {"needs", std::string(NameBytes, 'n')},
                     {"affinity", std::string(NameBytes, 'a')},
                     {"image", std::string(NameBytes, 'i')},
                     {"antiAffinity", 1}});
    earlier.push_back(n);
  }
  // The text with as many bytes as it can have in JSON.
  const std::string escaped = repeated("\\u0078", PayloadBytes);
  return padded(R"({"spec":")" + escaped + R"(","steps":)" + steps.dump() +
                "}");
}

} // namespace oriolebay::testing_system
