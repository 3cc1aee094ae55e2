#include "connectionwatch.h"

#include "utils/steadyclock.h"

#include <sys/socket.h>

#include <utility>

namespace oriolebay::http {

ConnectionWatch::ConnectionWatch(ConnectionLimits limits,
                                 ConnectionTable::OnRefused onRefused)
    : Table(
          limits, [](int fd) { shutdown(fd, SHUT_RDWR); },
          std::move(onRefused)) {}

ConnectionWatch::~ConnectionWatch() { stop(); }

int ConnectionWatch::descriptorOf(MHD_Connection *connection) {
  return MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)
      ->connect_fd;
}

bool ConnectionWatch::enter(MHD_Connection *connection, ConnectionPhase phase) {
  return Table.enter(descriptorOf(connection), phase, utils::steadyNow());
}

void ConnectionWatch::start() {
  TimeoutThread = std::thread([this] { Table.run(); });
}

void ConnectionWatch::stop() {
  Table.stop();
  if (TimeoutThread.joinable())
    TimeoutThread.join();
}

void *ConnectionWatch::onRequestLine(void *watch, const char * /*uri*/,
                                     MHD_Connection *connection) {
  static_cast<ConnectionWatch *>(watch)->enter(connection,
                                               ConnectionPhase::Receiving);
  return nullptr;
}

void ConnectionWatch::onConnection(void *watch, MHD_Connection *connection,
                                   void ** /*socketContext*/,
                                   MHD_ConnectionNotificationCode code) {
  ConnectionTable &table = static_cast<ConnectionWatch *>(watch)->Table;
  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    table.add(descriptorOf(connection), utils::steadyNow());
  else
    table.remove(descriptorOf(connection));
}

} // namespace oriolebay::http
