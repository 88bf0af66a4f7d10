import { readFile } from "node:fs/promises";
import { fileURLToPath } from "node:url";
import { parseConfiguration, type Configuration } from "@pistachioway/kernel";
import type { FleetLayout } from "../fleet/index.js";

const exampleFile = fileURLToPath(
  new URL("../../../../examples/ballycorrig.toml", import.meta.url),
);
const tokenMilliseconds = 80;
const loadLagMilliseconds = 300;
const cacheTokens = 100_000;

/** Settings of every daemon; they shorten a planned stop to fit into a run of the demo. */
const extraSettings = "[limits]\nunreadyMilliseconds = 500\ndrainMilliseconds = 10000\n";

/** The fleet of the demo and the configurations that it publishes. */
export interface DemoLayout {
  readonly fleet: FleetLayout;
  readonly configuration: Configuration;
  /** Valid configuration with one more team. */
  readonly nextConfigurationText: string;
  /** Configuration that daemons must refuse: the zone of an engine is not defined. */
  readonly invalidConfigurationText: string;
}

/**
 * Reads the example configuration and distributes five daemons over its three zones.
 * @param disabledGuards - Guards to switch off in the daemons, to show which promises break.
 */
export async function createLayout(disabledGuards: readonly string[]): Promise<DemoLayout> {
  const text = await readFile(exampleFile, "utf8");
  const configuration = parseConfiguration(text).unwrapOrElse((error) => {
    throw error;
  });
  return {
    configuration,
    nextConfigurationText: `${text}\n[[teams]]\nname = "visitors"\ntokenSha256 = "${"0".repeat(64)}"\n`,
    invalidConfigurationText: text.replace('zone = "dublin"\nmodels', 'zone = "nowhere"\nmodels'),
    fleet: {
      daemons: ["dublin-1", "dublin-2", "cork-1", "cork-2", "galway-1"].map((place) => ({
        name: `entry-${place}`,
        zone: place.split("-")[0] ?? "",
      })),
      engines: configuration.engines.map(({ name, zone, slots, models, checksFencing }) => ({
        name,
        zone,
        options: {
          slots,
          models: models.join(","),
          checksFencing,
          tokenMilliseconds,
          loadLagMilliseconds,
          cacheTokens,
        },
      })),
      services: configuration.services.flatMap((service) =>
        service.hosts.map(({ name, zone }) => ({ name, zone, service: service.name })),
      ),
      teams: configuration.teams.map(({ name }) => name),
      configuration: text,
      extraSettings,
      disabledGuards,
    },
  };
}
