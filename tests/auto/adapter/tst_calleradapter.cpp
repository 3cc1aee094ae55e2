#include "calleradapter.h"
#include "configadapter.h"
#include "utils/text.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <gtest/gtest.h>

#include <numeric>
#include <vector>

namespace oriolebay::adapter {
namespace {

constexpr const char *Id = "0123456789abcdef";
/// Largest body that the platform's pages allow.
constexpr size_t LargestLegalBytes = 262144;

std::string jobOf(const std::vector<std::string> &steps) {
  return R"({"spec":"x","steps":[)" + absl::StrJoin(steps, ",") + "]}";
}

std::string jobOfSteps(int n, const std::string &step) {
  return jobOf(std::vector<std::string>(static_cast<size_t>(n), step));
}

// A text of n bytes that JSON spells with six bytes each.
std::string escapedText(size_t n) {
  std::string text = "\"";
  for (size_t i = 0; i < n; ++i)
    text += "\\u0001";
  return text + "\"";
}

// A step that waits for all steps before it and has every other field.
std::string largestStep(int number) {
  std::vector<int> earlier(static_cast<size_t>(number));
  std::iota(earlier.begin(), earlier.end(), 0);
  const std::string name = std::string(core::MaxNameBytes, 'n');
  return absl::StrCat(
      R"({"count":64,"cpu":1000000,"memMb":1000000,"gpu":1000,)",
      R"("estimateMs":1000000000000,"savesProgress":false,"gang":false,)",
      R"("sameRack":false,"speculative":false,"longRunning":true,)",
      R"("targetMs":1000000000000,"fills":false,"mayMiss":64,)",
      R"("antiAffinity":64,"needs":")", name, R"(","affinity":")", name,
      R"(","image":")", name, R"(","after":[)", absl::StrJoin(earlier, ","),
      "]}");
}

// A job at all limits, padded to the largest body.
std::string largestJob() {
  std::vector<std::string> steps;
  steps.reserve(core::MaxStepsPerJob);
  for (int i = 0; i < core::MaxStepsPerJob; ++i)
    steps.push_back(largestStep(i));
  std::string body =
      R"({"repeats":16,"firstMs":1800000000000,"intervalMs":1000,"spec":)" +
      escapedText(core::MaxPayloadBytes) + R"(,"steps":[)" +
      absl::StrJoin(steps, ",") + "]";
  EXPECT_LT(body.size(), LargestLegalBytes);
  body.resize(LargestLegalBytes - 1, ' ');
  return body + "}";
}

struct JobCase {
  const char *Name;
  std::string Body;
  bool IsValid;
};

void PrintTo(const JobCase &c, std::ostream *out) { *out << c.Name; }

class JobBodies : public ::testing::TestWithParam<JobCase> {};

// Guards against bodies that end the entry, and against answers that repeat
// them at length.
TEST_P(JobBodies, AreParsedOrRejectedWithARemedy) {
  const bool isAccepted = utils::handle<bool>(
      [&]() -> utils::Result<bool> {
        BOOST_LEAF_AUTO(spec, parseJob(Id, GetParam().Body));
        EXPECT_EQ(spec.Id, Id);
        return true;
      },
      [](const utils::Error &e) {
        EXPECT_EQ(e.Kind, utils::ErrorKind::BadMessage);
        EXPECT_NE(e.text().find("remedy"), std::string::npos) << e.text();
        EXPECT_LT(e.text().size(), 400u);
        EXPECT_TRUE(utils::isUtf8(e.text())) << e.text();
        return false;
      });
  EXPECT_EQ(isAccepted, GetParam().IsValid);
}

const JobCase JobCases[] = {
    {"minimal", R"({"spec":"x","steps":[{"cpu":100}]})", true},
    {"unknown_field", R"({"spec":"x","steps":[{"cpu":100}],"colour":1})",
     false},
    {"unknown_step_field", R"({"spec":"x","steps":[{"cpus":100}]})", false},
    {"no_steps", R"({"spec":"x"})", false},
    {"steps_no_list", R"({"spec":"x","steps":5})", false},
    {"count_no_number", R"({"spec":"x","steps":[{"count":"two"}]})", false},
    {"after_no_list", R"({"spec":"x","steps":[{"after":"0"}]})", false},
    {"list", "[]", false},
    {"text", "<html>", false},
    {"empty", "", false},
    {"deep", std::string(2000, '['), false},
    {"very_deep",
     R"({"spec":)" + std::string(400000, '[') + std::string(400000, ']') + "}",
     false},
    {"byte_ff", "\xff", false},
    {"text_not_utf8", "{\"spec\":\"\xff\",\"steps\":[{}]}", false},
    {"name_not_utf8", "{\"\xff\":1,\"steps\":[{}]}", false},
    {"name_very_long", R"({")" + std::string(100000, 'x') + R"(":1})", false},
    {"text_never_ends", "\"" + std::string(100000, 'x'), false},
    {"steps_no_list_of_objects", R"({"spec":"x","steps":[5]})", false},
    {"count_beyond_int", R"({"spec":"x","steps":[{"count":4294967297}]})",
     false},
    {"estimate_huge", R"({"spec":"x","steps":[{"cpu":"1e300"}]})", false},
    {"largest", largestJob(), true},
    {"most_steps", jobOfSteps(core::MaxStepsPerJob, "{}"), true},
    {"one_step_more", jobOfSteps(core::MaxStepsPerJob + 1, "{}"), false},
    {"very_many_steps", jobOfSteps(13000, R"({"cpu":100})"), false},
    {"very_many_numbers",
     jobOf({R"({"after":[)" + absl::StrJoin(std::vector<int>(100000, 0), ",") +
            "]}"}),
     false},
    {"text_too_long",
     R"({"spec":")" + std::string(core::MaxPayloadBytes + 1, 'x') +
         R"(","steps":[{}]})",
     false},
    {"name_too_long",
     jobOf({R"({"image":")" + std::string(core::MaxNameBytes + 1, 'x') +
            R"("})"}),
     false},
    {"too_many_tasks", jobOf({R"({"count":4097})"}), false},
};

INSTANTIATE_TEST_SUITE_P(Table, JobBodies, ::testing::ValuesIn(JobCases),
                         [](const auto &info) { return info.param.Name; });

TEST(CallerAdapter, ParsesEveryFieldOfAStep) {
  const core::JobSpec spec = utils::handle<core::JobSpec>(
      [&]() -> utils::Result<core::JobSpec> {
        return parseJob(Id, R"({"spec":"x","steps":[{"cpu":1},{"count":3,
            "cpu":2500,"memMb":512,"gpu":4,"estimateMs":900,"after":[0],
            "savesProgress":true,"gang":true,"sameRack":true,"needs":"a",
            "affinity":"r1-1","antiAffinity":2,"mayMiss":1}]})");
      },
      [](const utils::Error &e) {
        ADD_FAILURE() << e.text();
        return core::JobSpec();
      });
  ASSERT_EQ(spec.Steps.size(), 2u);
  const core::StepSpec &step = spec.Steps[1];
  EXPECT_EQ(step.Count, 3);
  EXPECT_EQ(step.PerTask, (core::Resources{2500, 512, 4}));
  EXPECT_EQ(step.After, std::vector<int>{0});
  EXPECT_TRUE(step.Checkpoints && step.Gang && step.SameRack);
  EXPECT_EQ(step.NeedsLabel, "a");
  EXPECT_EQ(step.DataRack, "r1-1");
  EXPECT_EQ(step.MaxPerWorker, 2);
  EXPECT_EQ(step.MaxUnavailable, 1);
}

struct ConfigCase {
  const char *Name;
  const char *Value;
  bool IsValid;
};

void PrintTo(const ConfigCase &c, std::ostream *out) { *out << c.Name; }

class Configs : public ::testing::TestWithParam<ConfigCase> {};

TEST_P(Configs, AreParsedOrRejected) {
  const bool isAccepted = utils::handle<bool>(
      [&]() -> utils::Result<bool> {
        BOOST_LEAF_AUTO(config, parseConfig(GetParam().Value));
        EXPECT_EQ(config.Version, 3);
        EXPECT_EQ(config.Queues.size(), 1u);
        EXPECT_EQ(config.Organisations.size(), 1u);
        EXPECT_EQ(config.Organisations.front().GuaranteedAccelerators, 16);
        return true;
      },
      [](const utils::Error &e) {
        EXPECT_EQ(e.Kind, utils::ErrorKind::BadMessage);
        return false;
      });
  EXPECT_EQ(isAccepted, GetParam().IsValid);
}

const ConfigCase ConfigCases[] = {
    {"complete",
     R"({"version":3,"routes":[{"name":"q","host":"h","prefix":"/p/",
         "service":"s","priority":1,"stretch":1.5,"targetLatencyMs":250}],
         "tenants":[{"name":"o","apiKeys":["k"],"guaranteed":{"gpu":16}}]})",
     true},
    {"no_version", R"({"routes":[]})", false},
    {"no_routes", R"({"version":3})", false},
    {"route_without_host", R"({"version":3,"routes":[{"name":"q"}]})", false},
    {"keys_no_list",
     R"({"version":3,"routes":[],"tenants":[{"name":"o","apiKeys":"k"}]})",
     false},
    {"no_json", "<html>", false},
    {"byte_ff", "\xff", false},
    {"name_not_utf8", "{\"version\":3,\"routes\":[{\"name\":\"\xff\"}]}",
     false},
    {"route_is_no_object", R"({"version":3,"routes":[5]})", false},
    {"version_is_no_number", R"({"version":"3","routes":[]})", false},
    {"priority_beyond_int",
     R"({"version":3,"routes":[{"name":"q","host":"h","prefix":"/p/",
         "service":"s","priority":4294967296}]})",
     false},
};

INSTANTIATE_TEST_SUITE_P(Table, Configs, ::testing::ValuesIn(ConfigCases),
                         [](const auto &info) { return info.param.Name; });

} // namespace
} // namespace oriolebay::adapter
