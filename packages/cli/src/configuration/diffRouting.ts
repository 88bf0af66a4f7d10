import { diffConfigurations, type ConfigurationChange, type Routing } from "@pistachioway/kernel";
import { createHash } from "node:crypto";

const shownDigestCharacters = 12;

/**
 * Gets the differences between two routing configurations, with the secret keys hashed.
 * @param before - Configuration before the change.
 * @param after - Configuration after the change.
 */
export function diffRouting(before: Routing, after: Routing): readonly ConfigurationChange[] {
  return diffConfigurations(hashKeys(before), hashKeys(after));
}

function hashKeys(routing: Routing): Routing {
  const teams = routing.teams?.map((team) => ({ ...team, keys: team.keys.map(hashKey) }));
  return { ...routing, teams };
}

function hashKey(key: string): string {
  const digest = createHash("sha256").update(key).digest("hex");
  return `sha256:${digest.slice(0, shownDigestCharacters)}`;
}
