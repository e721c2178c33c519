// What the choice of an upstream depends on, for a request that is sent and for
// one whose routing is explained.
#pragma once

#include <vector>

#include "serving/upstream_chooser.h"

namespace bilberrypitch {

class ActiveConfig;
struct ServingState;

// The input for a request that has not been sent yet. `model` counts only for
// services with models.
ChoiceInput MakeChoiceInput(const ServingState& state,
                            const ActiveConfig& config,
                            const ServiceId& service, const ModelRef& model,
                            int64_t prompt_tokens, Millis now);

}  // namespace bilberrypitch
