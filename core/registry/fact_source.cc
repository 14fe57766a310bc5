#include "core/registry/fact_source.h"

namespace knapweedlift {

void SetEra(SourceUpdate& update, uint64_t era) {
  update.era = era;
  update.as_of.era = era;
  for (ServerChange& change : update.servers) change.revision.era = era;
  for (EvacuationChange& change : update.evacuations) {
    change.revision.era = era;
  }
  if (update.config.has_value()) update.config->revision.era = era;
}

}  // namespace knapweedlift
