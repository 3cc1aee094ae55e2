#include "http/asyncserver.h"
#include "http/httpclient.h"

#include <gtest/gtest.h>

#include <future>

namespace oriolebay::http {
namespace {

// Guards against a caller that is told "not done" by a process that stops while
// it carries out the call.
TEST(AsyncServer, RequestBeingServedIsNotRefusedWhenTheServerStops) {
  std::promise<AsyncServer::Respond> served;
  AsyncServer server(
      {}, [&served](const HttpRequest &, const AsyncServer::Respond &respond) {
        served.set_value(respond);
      });
  std::future<HttpResult> result = std::async(std::launch::async, [&server] {
    return HttpClient(60000).call(
        "POST", "http://127.0.0.1:" + std::to_string(server.port()) + "/",
        "{}");
  });
  const AsyncServer::Respond respond = served.get_future().get();
  server.stop();
  const HttpResult answer = result.get();
  // A connection that ends without an answer leaves the outcome open, too.
  if (answer.hasAnswer()) {
    EXPECT_EQ(answer.Status, 504);
  }
}

} // namespace
} // namespace oriolebay::http
