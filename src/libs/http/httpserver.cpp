#include "httpserver.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>

#include <cstring>
#include <stdexcept>

namespace oriolebay::http {

struct HttpServer::Impl {
  Handler Serve;
  MHD_Daemon *Daemon = nullptr;
  int Port = 0;
};

namespace {

/// The body of a request, as far as it was received.
struct Upload {
  std::string Body;
};

/// libmicrohttpd calls this several times for each request: first with the
/// headers only, then with each part of the body, and at last with an empty
/// one.
MHD_Result onRequest(void *cls, MHD_Connection *connection, const char *url,
                     const char *method, const char * /*version*/,
                     const char *uploadData, size_t *uploadSize, void **state) {
  auto *impl = static_cast<HttpServer::Impl *>(cls);
  if (*state == nullptr) {
    *state = new Upload();
    return MHD_YES;
  }
  auto *upload = static_cast<Upload *>(*state);
  if (*uploadSize != 0) {
    upload->Body.append(uploadData, *uploadSize);
    *uploadSize = 0;
    return MHD_YES;
  }
  HttpRequest request{method, url, std::move(upload->Body)};
  HttpResponse response = impl->Serve(request);
  MHD_Response *reply = MHD_create_response_from_buffer(
      response.Body.size(), response.Body.data(), MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(reply, "Content-Type", response.ContentType.c_str());
  for (const auto &[name, value] : response.Headers)
    MHD_add_response_header(reply, name.c_str(), value.c_str());
  MHD_Result ret = MHD_queue_response(
      connection, static_cast<unsigned>(response.Status), reply);
  MHD_destroy_response(reply);
  return ret;
}

void onCompleted(void * /*cls*/, MHD_Connection * /*connection*/, void **state,
                 MHD_RequestTerminationCode /*code*/) {
  delete static_cast<Upload *>(*state);
  *state = nullptr;
}

} // namespace

HttpServer::HttpServer(const std::string &host, int port, Handler handler,
                       int maxConnections)
    : D(std::make_unique<Impl>()) {
  D->Serve = std::move(handler);
  sockaddr_in addr{};
  addr.sin_family = AF_INET;
  addr.sin_port = htons(static_cast<uint16_t>(port));
  if (inet_pton(AF_INET, host.c_str(), &addr.sin_addr) != 1)
    throw std::runtime_error("not an IPv4 address: " + host);
  D->Daemon = MHD_start_daemon(
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
          MHD_USE_ERROR_LOG,
      static_cast<uint16_t>(port), nullptr, nullptr, &onRequest, D.get(),
      MHD_OPTION_SOCK_ADDR, reinterpret_cast<sockaddr *>(&addr),
      MHD_OPTION_CONNECTION_LIMIT, static_cast<unsigned>(maxConnections),
      MHD_OPTION_NOTIFY_COMPLETED, &onCompleted, nullptr, MHD_OPTION_END);
  if (D->Daemon == nullptr)
    throw std::runtime_error("cannot listen on " + host + ":" +
                             std::to_string(port));
  const MHD_DaemonInfo *info =
      MHD_get_daemon_info(D->Daemon, MHD_DAEMON_INFO_BIND_PORT);
  D->Port = info != nullptr ? info->port : port;
}

HttpServer::~HttpServer() { stop(); }

int HttpServer::port() const { return D->Port; }

void HttpServer::stop() {
  if (D->Daemon != nullptr) {
    MHD_stop_daemon(D->Daemon);
    D->Daemon = nullptr;
  }
}

} // namespace oriolebay::http
