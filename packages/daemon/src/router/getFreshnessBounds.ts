import type { FreshnessBounds } from "@pistachioway/kernel";
import type { RouterSettings } from "./settings.js";

/** Clock error that is allowed for when a revoked key must stop being accepted. */
const clockErrorMilliseconds = 200;

/** Gets the ages of the configuration from which a router distrusts it. */
export function getFreshnessBounds({ configuration }: RouterSettings): FreshnessBounds {
  const { staleMilliseconds, revokeMilliseconds } = configuration;
  return {
    staleMilliseconds,
    failClosedMilliseconds: revokeMilliseconds - clockErrorMilliseconds,
  };
}
