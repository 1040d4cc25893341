#pragma once

/// Umbrella header of the decisions package: state machines without I/O, clocks, threads or
/// logging.

#include "hemlockproxy/decisions/Admission.h"
#include "hemlockproxy/decisions/AttemptResult.h"
#include "hemlockproxy/decisions/AttemptTimeout.h"
#include "hemlockproxy/decisions/BackendAnnouncements.h"
#include "hemlockproxy/decisions/ConfigReplay.h"
#include "hemlockproxy/decisions/ConfigRules.h"
#include "hemlockproxy/decisions/Drain.h"
#include "hemlockproxy/decisions/EndpointChooser.h"
#include "hemlockproxy/decisions/EndpointPicker.h"
#include "hemlockproxy/decisions/EntryGate.h"
#include "hemlockproxy/decisions/OutlierEjection.h"
#include "hemlockproxy/decisions/Quarantine.h"
#include "hemlockproxy/decisions/QueueOrder.h"
#include "hemlockproxy/decisions/RequestId.h"
#include "hemlockproxy/decisions/RetryBudget.h"
#include "hemlockproxy/decisions/RetryPolicy.h"
#include "hemlockproxy/decisions/RunKind.h"
#include "hemlockproxy/decisions/ServiceTimeEstimate.h"
#include "hemlockproxy/decisions/TokenBucket.h"
