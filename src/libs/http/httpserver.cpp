#include "httpserver.h"

#include "connectionwatch.h"
#include "librarylog.h"
#include "listensocket.h"
#include "mhdmessages.h"
#include "utils/steadyclock.h"

#include <unistd.h>

#include <stdexcept>

namespace oriolebay::http {

struct HttpServer::Impl {
  Impl(Handler handler, HttpServerOptions options)
      : Serve(std::move(handler)), Options(std::move(options)),
        Watch({Options.MaxConnections, Options.RequestTimeout,
               absl::InfiniteDuration()},
              [this](const RefusedRequest &it) { report(it); }) {}

  void report(const RefusedRequest &refused) const;
  MHD_Result send(MHD_Connection *connection, const HttpResponse &response);

  const Handler Serve;
  const HttpServerOptions Options;
  LibraryLog Log;
  ConnectionWatch Watch;
  MHD_Daemon *Daemon = nullptr;
  int Port = 0;
};

void HttpServer::Impl::report(const RefusedRequest &refused) const {
  if (Options.OnRefused)
    Options.OnRefused(refused);
}

MHD_Result HttpServer::Impl::send(MHD_Connection *connection,
                                  const HttpResponse &response) {
  Watch.enter(connection, ConnectionPhase::Answering);
  return queueResponse(connection, response, false);
}

namespace {

/// The body of a request, as far as it was received.
struct Upload {
  absl::Time Begun;
  RequestBody Body;
};

MHD_Result receiveHeaders(HttpServer::Impl &server, MHD_Connection *connection,
                          void **state) {
  const HttpServerOptions &options = server.Options;
  auto *upload = new Upload{utils::steadyNow(),
                            RequestBody(options.MaxBodyBytes, options.Budget)};
  *state = upload;
  if (auto reason = upload->Body.begin(bodyAnnouncementOf(connection))) {
    server.report({*reason, upload->Body.bytes(), absl::ZeroDuration()});
    return server.send(connection, refusalOf(*reason, defaultNoRoomAnswer()));
  }
  return MHD_YES;
}

MHD_Result receiveBody(const HttpServer::Impl &server, Upload &upload,
                       const char *data, size_t *size) {
  if (auto reason = upload.Body.append(data, *size)) {
    server.report(
        {*reason, upload.Body.bytes(), utils::steadyNow() - upload.Begun});
    upload.Body.discard();
    return MHD_NO;
  }
  *size = 0;
  return MHD_YES;
}

/// libmicrohttpd calls this several times for each request: first with the
/// headers only, then with each part of the body, and at last with an empty
/// one.
MHD_Result onRequest(void *cls, MHD_Connection *connection, const char *url,
                     const char *method, const char * /*version*/,
                     const char *data, size_t *size, void **state) {
  auto *server = static_cast<HttpServer::Impl *>(cls);
  if (*state == nullptr)
    return receiveHeaders(*server, connection, state);
  auto *upload = static_cast<Upload *>(*state);
  if (*size != 0)
    return receiveBody(*server, *upload, data, size);
  if (!server->Watch.enter(connection, ConnectionPhase::Handled))
    return MHD_NO;
  HttpRequest request{method, url, upload->Body.take()};
  request.Reservation = upload->Body.takeReservation();
  return server->send(connection, server->Serve(request));
}

void onCompleted(void *cls, MHD_Connection *connection, void **state,
                 MHD_RequestTerminationCode /*code*/) {
  static_cast<HttpServer::Impl *>(cls)->Watch.enter(connection,
                                                    ConnectionPhase::Idle);
  delete static_cast<Upload *>(*state);
  *state = nullptr;
}

} // namespace

HttpServer::HttpServer(const std::string &host, int port, Handler handler,
                       int maxConnections)
    : HttpServer(host, port, std::move(handler),
                 HttpServerOptions{.MaxConnections = maxConnections}) {}

HttpServer::HttpServer(const std::string &host, int port, Handler handler,
                       HttpServerOptions options)
    : D(std::make_unique<Impl>(std::move(handler), std::move(options))) {
  const ListenSocket listenSocket = listenOn(host, port);
  D->Port = listenSocket.Port;
  // The library's idle timeout is not used: it would end a connection after a
  // handler that has blocked for longer.
  D->Daemon = MHD_start_daemon(
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
          MHD_USE_ERROR_LOG,
      0, nullptr, nullptr, &onRequest, D.get(), MHD_OPTION_EXTERNAL_LOGGER,
      &LibraryLog::write, &D->Log, MHD_OPTION_LISTEN_SOCKET,
      listenSocket.Descriptor, MHD_OPTION_CONNECTION_LIMIT,
      static_cast<unsigned>(D->Options.MaxConnections) + AcceptedBeyondLimit,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, ConnectionMemoryBytes,
      MHD_OPTION_NOTIFY_COMPLETED, &onCompleted, D.get(),
      MHD_OPTION_URI_LOG_CALLBACK, &ConnectionWatch::onRequestLine, &D->Watch,
      MHD_OPTION_NOTIFY_CONNECTION, &ConnectionWatch::onConnection, &D->Watch,
      MHD_OPTION_END);
  if (D->Daemon == nullptr) {
    close(listenSocket.Descriptor);
    throw std::runtime_error("cannot serve on " + host + ":" +
                             std::to_string(D->Port));
  }
  D->Watch.start();
}

HttpServer::~HttpServer() { stop(); }

int HttpServer::port() const { return D->Port; }

void HttpServer::stop() {
  if (D->Daemon == nullptr)
    return;
  D->Watch.stop();
  MHD_stop_daemon(D->Daemon);
  D->Daemon = nullptr;
}

} // namespace oriolebay::http
