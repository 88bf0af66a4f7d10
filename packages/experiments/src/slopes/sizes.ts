import { createHash } from "node:crypto";

/** Sizes of a generated configuration. */
export interface ConfigurationSizes {
  readonly engines: number;
  readonly teams: number;
}

const models = 5;
const zones = 10;

/**
 * Creates the text of a configuration of a size.
 * @param sizes - Number of engines and teams.
 */
export function createConfigurationText(sizes: ConfigurationSizes): string {
  return [
    ...createList(zones, (index) => `[[zones]]\nname = "z${index}"\nregion = "r"\n`),
    ...createList(models, (index) => `[[models]]\nname = "m${index}"\nversion = "1"\n`),
    ...createList(sizes.engines, (index) => {
      const place = `zone = "z${String(Number(index) % zones)}"`;
      const serves = `models = ["m${String(Number(index) % models)}"]`;
      return `[[engines]]\nname = "engine-${index}"\n${place}\n${serves}\n`;
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
