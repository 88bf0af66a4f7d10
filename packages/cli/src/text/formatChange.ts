import type { ConfigurationChange } from "@pistachioway/kernel";
import { toPrintable } from "./table.js";

/**
 * Formats a difference between two configurations as one line.
 * @param change - The difference.
 */
export function formatChange(change: ConfigurationChange): string {
  const before = JSON.stringify(change.before);
  const after = JSON.stringify(change.after);
  switch (change.kind) {
    case "added":
      return toPrintable(`+ ${change.path} = ${after}`);
    case "removed":
      return toPrintable(`- ${change.path} = ${before}`);
    case "changed":
      return toPrintable(`~ ${change.path}: ${before} -> ${after}`);
  }
}
