#pragma once

/// Umbrella header of the model package: value types without behaviour beyond their own invariants.

#include "hemlockproxy/model/Address.h"
#include "hemlockproxy/model/BackendReport.h"
#include "hemlockproxy/model/Claim.h"
#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/model/Config.h"
#include "hemlockproxy/model/ConfigBounds.h"
#include "hemlockproxy/model/ConfigRecord.h"
#include "hemlockproxy/model/Customer.h"
#include "hemlockproxy/model/Digest.h"
#include "hemlockproxy/model/Duration.h"
#include "hemlockproxy/model/Event.h"
#include "hemlockproxy/model/Ids.h"
#include "hemlockproxy/model/Member.h"
#include "hemlockproxy/model/RequestOutcome.h"
#include "hemlockproxy/model/Result.h"
#include "hemlockproxy/model/ServiceFile.h"
#include "hemlockproxy/model/ServiceFolder.h"
#include "hemlockproxy/model/SourcePosition.h"
#include "hemlockproxy/model/StrongType.h"
