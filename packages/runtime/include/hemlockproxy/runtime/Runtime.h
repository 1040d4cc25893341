#pragma once

/// Umbrella header of the runtime package: fibers over Asio, HTTP, UDP, the log client, metrics and
/// events.

#include "hemlockproxy/runtime/EventRing.h"
#include "hemlockproxy/runtime/FiberLoop.h"
#include "hemlockproxy/runtime/Http.h"
#include "hemlockproxy/runtime/HttpClient.h"
#include "hemlockproxy/runtime/HttpServer.h"
#include "hemlockproxy/runtime/Log.h"
#include "hemlockproxy/runtime/Metrics.h"
#include "hemlockproxy/runtime/UdpSocket.h"
