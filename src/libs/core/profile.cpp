#include "profile.h"

namespace oriolebay::core {

int Profile::guaranteedAccelerators(const std::string &organisation) const {
  for (const Guarantee &g : Guarantees)
    if (g.Organisation == organisation)
      return g.Accelerators;
  return 0;
}

} // namespace oriolebay::core
