// Collects the input of a choice from the state of the instance.
#include "gateway/choice_input.h"

#include "gateway/serving_state.h"

namespace bilberrypitch {

ChoiceInput MakeChoiceInput(const ServingState& state,
                            const ActiveConfig& config,
                            const ServiceId& service_id, const ModelRef& model,
                            int64_t prompt_tokens, Millis now) {
  ChoiceInput input;
  const Service* service = config.FindService(service_id);
  if (service != nullptr && service->engine) {
    input.model = model;
  }
  auto required_version = state.required_versions.find(input.model);
  if (required_version != state.required_versions.end()) {
    input.minimum_version = required_version->second;
  }
  input.prompt_tokens = model.model.empty() ? 0 : prompt_tokens;
  input.zone = state.settings.zone;
  input.now = now;
  auto permit_wait = state.permit_waits.find(service_id);
  if (permit_wait != state.permit_waits.end()) {
    input.permit_wait_ms = permit_wait->second.ExpectedMs(now);
  }
  return input;
}

}  // namespace bilberrypitch
