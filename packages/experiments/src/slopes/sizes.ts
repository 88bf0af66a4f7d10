import { createHash } from "node:crypto";

/** Size of a generated configuration. */
export interface ConfigurationSizes {
  readonly engines: number;
  readonly teams: number;
}

const models = 5;
const zones = 10;

/**
 * Creates the TOML text of a configuration of the given size.
 * @param sizes - Number of engines and teams.
 */
export function createConfigurationText(sizes: ConfigurationSizes): string {
  return [
    ...createList(zones, (index) => `[[zones]]\nname = "z${index}"\nregion = "r"\n`),
    ...createList(models, (index) => `[[models]]\nname = "m${index}"\nversion = "1"\n`),
    ...createList(sizes.engines, (index) => {
      const zone = `zone = "z${String(Number(index) % zones)}"`;
      const served = `models = ["m${String(Number(index) % models)}"]`;
      return `[[engines]]\nname = "engine-${index}"\n${zone}\n${served}\n`;
    }),
    ...createList(sizes.teams, (index) => {
      const hash = createHash("sha256").update(index).digest("hex");
      return `[[teams]]\nname = "team-${index}"\ntokenSha256 = "${hash}"\n`;
    }),
  ].join("\n");
}

function createList(length: number, create: (index: string) => string): string[] {
  return Array.from({ length }, (_unused, index) => create(String(index)));
}
