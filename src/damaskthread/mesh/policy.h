#ifndef DAMASKTHREAD_MESH_POLICY_H_
#define DAMASKTHREAD_MESH_POLICY_H_

/// @file
/// @brief Options of the decision modules, which operators may set in the section `policy` of the settings.

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "damaskthread/entrance/throttle.h"
#include "damaskthread/gate/server_gate.h"
#include "damaskthread/mesh/request_options.h"
#include "damaskthread/overlay/link_plan.h"
#include "damaskthread/pace/ramp_up.h"
#include "damaskthread/placement/server_pool.h"
#include "damaskthread/quarantine/crash_counter.h"
#include "damaskthread/retry/repeat_budget.h"
#include "damaskthread/settings/settings.h"

namespace damaskthread::mesh {

/// @brief Options of all decision modules. The values that operators promise their users, such as the ratio of
/// repeats, are not part of it.
struct Policy {
  entrance::ThrottleOptions entrance;
  gate::GateOptions gate;
  overlay::LinkPlanOptions links;
  pace::RampUpOptions pace;
  placement::ServerPoolOptions placement;
  quarantine::CrashCounterOptions quarantine;
  retry::RepeatBudgetOptions repeats;
  RequestOptions requests;
};

/// @brief Reads the section. Fields that are absent keep their value.
/// @param node The section, or null if there is none.
/// @param errors Receives an error for each unknown field, wrong type and value out of range.
void read_policy(const nlohmann::json* node, std::string_view source, settings::Errors& errors, Policy& policy);

/// @brief Formats all options as `policy.section.option: value` lines.
[[nodiscard]] std::string describe(const Policy& policy);

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_POLICY_H_
