import { createHash } from "node:crypto";

/**
 * Gets the SHA-256 hash of a configuration's text, in lower-case hexadecimal.
 * @param text - Text as it was published.
 */
export function getConfigurationDigest(text: string): string {
  return createHash("sha256").update(text, "utf8").digest("hex");
}
