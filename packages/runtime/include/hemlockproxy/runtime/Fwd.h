#pragma once

namespace hemlockproxy::runtime {

class BodySource;
class EventRing;
class HttpConnection;
class HttpConnectionPool;
class HttpExchange;
class HttpServer;
class LogPort;
class Metrics;
class UdpSocket;
struct HttpError;
struct LogError;

} // namespace hemlockproxy::runtime
