#include "jobs/jobrecord.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <ostream>

namespace oriolebay::jobs {
namespace {

struct StampCase {
  const char *Name;
  core::ConfigStamp DecidedBy;
};

void PrintTo(const StampCase &c, std::ostream *out) { *out << c.Name; }

class RecordStamp : public testing::TestWithParam<StampCase> {};

TEST_P(RecordStamp, IsReadAsWritten) {
  JobRecord record;
  record.Spec.Id = "j";
  record.DecidedBy = GetParam().DecidedBy;
  EXPECT_EQ(decodeRecord(encode(record)).value(), record);
}

INSTANTIATE_TEST_SUITE_P(
    Table, RecordStamp,
    testing::Values(StampCase{"None", {0, 0}}, StampCase{"Small", {12, 3}},
                    StampCase{"Large", {INT64_MAX, INT64_MAX}}),
    [](const auto &info) { return info.param.Name; });

// Guards against jobs that are lost during an upgrade, because an entry cannot
// read a record that an earlier version has written without the stamp.
TEST(RecordWithoutStamp, IsReadAsOneOfAnEarlierVersion) {
  JobRecord record;
  record.Spec.Id = "j";
  record.DecidedBy = {12, 3};
  nlohmann::json earlier = nlohmann::json::from_cbor(encode(record));
  earlier.erase("config");
  const std::vector<uint8_t> bytes = nlohmann::json::to_cbor(earlier);
  record.DecidedBy = {};
  EXPECT_EQ(decodeRecord({bytes.begin(), bytes.end()}).value(), record);
}

} // namespace
} // namespace oriolebay::jobs
