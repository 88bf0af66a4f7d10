import { parseConfiguration } from "@pistachioway/kernel";
import { gzipSync } from "node:zlib";
import type { ConfigurationFigures } from "./schema.js";
import { createConfigurationText, type ConfigurationSizes } from "./sizes.js";

const rounds = 5;

/**
 * Measures the cost of parsing and validating a configuration.
 * @param sizes - Number of engines and teams.
 */
export function measureConfiguration(sizes: ConfigurationSizes): ConfigurationFigures {
  const text = createConfigurationText(sizes);
  const times = Array.from({ length: rounds }, () => measureAcceptance(text));
  return {
    ...sizes,
    fileBytes: Buffer.byteLength(text),
    gzipBytes: gzipSync(text).length,
    acceptMilliseconds: Math.min(...times),
  };
}

function measureAcceptance(text: string): number {
  const startedAt = performance.now();
  parseConfiguration(text).unwrapOrElse((error) => {
    throw error;
  });
  return performance.now() - startedAt;
}
