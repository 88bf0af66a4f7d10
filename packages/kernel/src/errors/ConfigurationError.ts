import type { ConfigurationFinding } from "../configuration/findings.js";
import { KernelError } from "./KernelError.js";

/** A configuration text is invalid; `findings` lists every error in it. */
export class ConfigurationError extends KernelError {
  readonly code = "invalid-configuration";

  constructor(readonly findings: readonly ConfigurationFinding[]) {
    super(`the configuration has ${String(findings.length)} error(s): ${getSummary(findings)}`);
  }
}

function getSummary(findings: readonly ConfigurationFinding[]): string {
  const first = findings[0];
  const rest = findings.length > 1 ? ` and ${String(findings.length - 1)} more` : "";
  return `${first?.message ?? "none"}${rest}`;
}
