#include "asyncserver.h"

#include "connectionwatch.h"
#include "librarylog.h"
#include "listensocket.h"
#include "mhdmessages.h"
#include "requestbody.h"
#include "utils/steadyclock.h"

#include <microhttpd.h>
#include <unistd.h>

#include <atomic>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>

namespace oriolebay::http {

namespace {

/// One request from its first byte to the end of its answer.
struct Exchange {
  Exchange(MHD_Connection *connection, RequestBody body)
      : Connection(connection),
        Descriptor(ConnectionWatch::descriptorOf(connection)),
        Body(std::move(body)) {}

  MHD_Connection *const Connection;
  const int Descriptor;
  const absl::Time Begun = utils::steadyNow();
  RequestBody Body;
  // Guarded by the server's mutex.
  bool IsHandedOver = false;
  bool Suspended = false;
  std::optional<HttpResponse> Answer;
};

} // namespace

struct AsyncServer::Impl {
  Impl(AsyncServerOptions options, Handler handler)
      : Options(std::move(options)), Serve(std::move(handler)),
        Watch({Options.MaxConnections, Options.RequestTimeout,
               RequestLineTimeout},
              [this](const RefusedRequest &it) { report(it); }) {}

  AsyncServerOptions Options;
  Handler Serve;
  MHD_Daemon *Daemon = nullptr;
  int Port = 0;
  std::atomic<bool> ClosesAfterAnswers{false};
  std::atomic<int> Unanswered{0};
  std::mutex Mu;
  std::set<std::shared_ptr<Exchange>> OpenExchanges;
  bool Stopped = false;
  ConnectionWatch Watch;

  /// Begins a request whose headers have arrived.
  MHD_Result receiveHeaders(MHD_Connection *connection, void **state);
  /// Takes a part of a request's body.
  MHD_Result receiveBody(Exchange &exchange, const char *data, size_t *size);
  /// Frees the bytes of another request. Returns false when none gives them up.
  bool makeRoomFor(const Exchange &exchange);
  MHD_Result refuseByHeaders(Exchange &exchange, RefusalReason reason);
  void reportRefusal(const Exchange &exchange, RefusalReason reason) const;
  void report(const RefusedRequest &refused) const;
  HttpRequest makeRequest(Exchange &exchange, const char *url,
                          const char *method);
  void answer(const std::shared_ptr<Exchange> &exchange, HttpResponse response);
  /// Like answer(); the caller holds Mu.
  void answerLocked(const std::shared_ptr<Exchange> &exchange,
                    HttpResponse response);
  void answerAtStop(const std::shared_ptr<Exchange> &exchange);
  /// Returns whether the request is now to be given to the handler.
  bool beginHandover(Exchange &exchange);
  MHD_Result send(MHD_Connection *connection, const HttpResponse &response);
};

namespace {

using ExchangePtr = std::shared_ptr<Exchange>;

// Answers a request. If it is destroyed without an answer, the request is
// answered with an error.
class Responder {
public:
  Responder(std::weak_ptr<AsyncServer::Impl> server, ExchangePtr request)
      : Server(std::move(server)), Request(std::move(request)) {}
  Responder(const Responder &) = delete;
  Responder &operator=(const Responder &) = delete;

  void respond(HttpResponse response) {
    if (auto server = Server.lock())
      server->answer(Request, std::move(response));
  }
  ~Responder() {
    respond({500, R"({"error":"the request was dropped; try again"})"});
  }

private:
  const std::weak_ptr<AsyncServer::Impl> Server;
  const ExchangePtr Request;
};

/// Reference to the server for libmicrohttpd's callbacks. It is empty after the
/// server was destroyed.
struct ServerRef {
  std::weak_ptr<AsyncServer::Impl> Server;
  LibraryLog Log;
};

} // namespace

MHD_Result AsyncServer::Impl::receiveHeaders(MHD_Connection *connection,
                                             void **state) {
  auto exchange = std::make_shared<Exchange>(
      connection, RequestBody(Options.MaxBodyBytes, Options.Budget));
  ++Unanswered;
  *state = new ExchangePtr(exchange);
  {
    std::lock_guard<std::mutex> lock(Mu);
    OpenExchanges.insert(exchange);
  }
  const BodyAnnouncement announcement = bodyAnnouncementOf(connection);
  std::optional<RefusalReason> reason;
  do
    reason = exchange->Body.begin(announcement);
  while (reason == RefusalReason::NoRoom && makeRoomFor(*exchange));
  if (reason)
    return refuseByHeaders(*exchange, *reason);
  Watch.table().setBodyBytes(exchange->Descriptor, exchange->Body.bytes());
  return MHD_YES;
}

// libmicrohttpd closes the connection after an answer that precedes the body.
MHD_Result AsyncServer::Impl::refuseByHeaders(Exchange &exchange,
                                              RefusalReason reason) {
  reportRefusal(exchange, reason);
  return send(exchange.Connection, refusalOf(reason, Options.NoRoomAnswer));
}

// libmicrohttpd allows no answer between the parts of a body.
MHD_Result AsyncServer::Impl::receiveBody(Exchange &exchange, const char *data,
                                          size_t *size) {
  if (exchange.Body.isDiscarded())
    return MHD_NO;
  std::optional<RefusalReason> reason;
  do
    reason = exchange.Body.append(data, *size);
  while (reason == RefusalReason::NoRoom && makeRoomFor(exchange));
  if (reason) {
    reportRefusal(exchange, *reason);
    exchange.Body.discard();
    return MHD_NO;
  }
  Watch.table().setBodyBytes(exchange.Descriptor, exchange.Body.bytes());
  *size = 0;
  return MHD_YES;
}

// Bodies belong to the server's thread, which is the only one that calls this.
bool AsyncServer::Impl::makeRoomFor(const Exchange &exchange) {
  const std::optional<int> fd =
      Watch.table().giveUpBytes(exchange.Descriptor, utils::steadyNow());
  if (!fd)
    return false;
  std::lock_guard<std::mutex> lock(Mu);
  for (const std::shared_ptr<Exchange> &it : OpenExchanges)
    if (it->Descriptor == *fd)
      it->Body.discard();
  return true;
}

void AsyncServer::Impl::reportRefusal(const Exchange &exchange,
                                      RefusalReason reason) const {
  report({reason, exchange.Body.bytes(), utils::steadyNow() - exchange.Begun});
}

void AsyncServer::Impl::report(const RefusedRequest &refused) const {
  if (Options.OnRefused)
    Options.OnRefused(refused);
}

HttpRequest AsyncServer::Impl::makeRequest(Exchange &exchange, const char *url,
                                           const char *method) {
  HttpRequest request{method, url, exchange.Body.take()};
  const auto store = [&exchange](const std::vector<std::string> &names,
                                 MHD_ValueKind kind,
                                 std::map<std::string, std::string> &values) {
    for (const std::string &name : names)
      if (const char *value = MHD_lookup_connection_value(exchange.Connection,
                                                          kind, name.c_str()))
        values[name] = value;
  };
  request.Reservation = exchange.Body.takeReservation();
  store(Options.StoredHeaders, MHD_HEADER_KIND, request.Headers);
  store(Options.StoredArguments, MHD_GET_ARGUMENT_KIND, request.Arguments);
  return request;
}

void AsyncServer::Impl::answer(const ExchangePtr &exchange,
                               HttpResponse response) {
  std::lock_guard<std::mutex> lock(Mu);
  answerLocked(exchange, std::move(response));
}

void AsyncServer::Impl::answerLocked(const ExchangePtr &exchange,
                                     HttpResponse response) {
  if (exchange->Answer || OpenExchanges.count(exchange) == 0)
    return;
  exchange->Answer = std::move(response);
  if (exchange->Suspended) {
    exchange->Suspended = false;
    MHD_resume_connection(exchange->Connection);
  }
}

bool AsyncServer::Impl::beginHandover(Exchange &exchange) {
  std::lock_guard<std::mutex> lock(Mu);
  if (exchange.IsHandedOver || exchange.Answer)
    return false;
  exchange.IsHandedOver = true;
  return true;
}

// The handler may have carried out a request that was handed over.
void AsyncServer::Impl::answerAtStop(const ExchangePtr &exchange) {
  std::lock_guard<std::mutex> lock(Mu);
  if (exchange->IsHandedOver)
    answerLocked(exchange, {504, R"({"error":"stopping; ask again"})"});
  else
    answerLocked(exchange, {503, R"({"error":"stopping; try another entry"})"});
}

MHD_Result AsyncServer::Impl::send(MHD_Connection *connection,
                                   const HttpResponse &response) {
  Watch.enter(connection, ConnectionPhase::Answering);
  return queueResponse(connection, response, ClosesAfterAnswers);
}

namespace {

/// libmicrohttpd calls this several times for each request: first with the
/// headers only, then with each part of the body, then with an empty one, and
/// again when the connection is resumed for its answer.
MHD_Result onRequest(void *cls, MHD_Connection *connection, const char *url,
                     const char *method, const char * /*version*/,
                     const char *data, size_t *size, void **state) {
  auto server = static_cast<ServerRef *>(cls)->Server.lock();
  if (server == nullptr)
    return MHD_NO;
  if (*state == nullptr)
    return server->receiveHeaders(connection, state);
  const ExchangePtr exchange = *static_cast<ExchangePtr *>(*state);
  if (*size != 0)
    return server->receiveBody(*exchange, data, size);
  if (server->beginHandover(*exchange)) {
    if (!server->Watch.enter(connection, ConnectionPhase::Handled))
      return MHD_NO;
    auto responder = std::make_shared<Responder>(server, exchange);
    server->Serve(
        server->makeRequest(*exchange, url, method),
        [responder](HttpResponse r) { responder->respond(std::move(r)); });
  }
  std::lock_guard<std::mutex> lock(server->Mu);
  if (exchange->Answer)
    return server->send(connection, *exchange->Answer);
  exchange->Suspended = true;
  MHD_suspend_connection(connection);
  return MHD_YES;
}

void onCompleted(void *cls, MHD_Connection *connection, void **state,
                 MHD_RequestTerminationCode /*code*/) {
  auto *storedExchange = static_cast<ExchangePtr *>(*state);
  if (storedExchange == nullptr)
    return;
  if (auto server = static_cast<ServerRef *>(cls)->Server.lock()) {
    --server->Unanswered;
    server->Watch.enter(connection, ConnectionPhase::Idle);
    std::lock_guard<std::mutex> lock(server->Mu);
    server->OpenExchanges.erase(*storedExchange);
  }
  delete storedExchange;
  *state = nullptr;
}

} // namespace

AsyncServer::AsyncServer(AsyncServerOptions options, Handler handler)
    : D(std::make_shared<Impl>(std::move(options), std::move(handler))) {
  const ListenSocket listenSocket = listenOn(D->Options.Host, D->Options.Port);
  D->Port = listenSocket.Port;
  // Lives as long as the daemon, which ends with the process or in stop().
  auto *ref = new ServerRef{D, {}};
  D->Daemon = MHD_start_daemon(
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME |
          MHD_USE_ERROR_LOG,
      0, nullptr, nullptr, &onRequest, ref, MHD_OPTION_EXTERNAL_LOGGER,
      &LibraryLog::write, &ref->Log, MHD_OPTION_LISTEN_SOCKET,
      listenSocket.Descriptor, MHD_OPTION_CONNECTION_LIMIT,
      static_cast<unsigned>(D->Options.MaxConnections) + AcceptedBeyondLimit,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, ConnectionMemoryBytes,
      MHD_OPTION_CONNECTION_TIMEOUT, IdleTimeoutS, MHD_OPTION_NOTIFY_COMPLETED,
      &onCompleted, ref, MHD_OPTION_URI_LOG_CALLBACK,
      &ConnectionWatch::onRequestLine, &D->Watch, MHD_OPTION_NOTIFY_CONNECTION,
      &ConnectionWatch::onConnection, &D->Watch, MHD_OPTION_END);
  if (D->Daemon == nullptr) {
    delete ref;
    close(listenSocket.Descriptor);
    throw std::runtime_error("cannot serve on " + D->Options.Host + ":" +
                             std::to_string(D->Port));
  }
  D->Watch.start();
}

AsyncServer::~AsyncServer() { stop(); }

int AsyncServer::port() const { return D->Port; }

void AsyncServer::closeAfterAnswers() { D->ClosesAfterAnswers = true; }

int AsyncServer::unanswered() const { return D->Unanswered; }

void AsyncServer::stop() {
  std::set<ExchangePtr> openExchanges;
  {
    std::lock_guard<std::mutex> lock(D->Mu);
    if (D->Stopped)
      return;
    D->Stopped = true;
    openExchanges = D->OpenExchanges;
  }
  for (const ExchangePtr &exchange : openExchanges)
    D->answerAtStop(exchange);
  D->Watch.stop();
  MHD_stop_daemon(D->Daemon);
}

} // namespace oriolebay::http
