// Fronts under virtual time.

#include "chervilwick/emulator/front_model.h"

#include "direct_front.h"
#include "dispatch_front.h"

namespace chervilwick {

std::unique_ptr<FrontModel> MakeFront(EventQueue& queue, EngineModels& engines,
                                      const std::string& name,
                                      const FrontModelOptions& options) {
  if (options.policy == FrontPolicy::kDispatch) {
    return std::make_unique<DispatchFront>(queue, engines, name, options);
  }
  return std::make_unique<DirectFront>(queue, engines, options);
}

}  // namespace chervilwick
