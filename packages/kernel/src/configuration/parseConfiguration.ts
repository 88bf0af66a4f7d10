import { parse, TomlError } from "smol-toml";
import { Result } from "true-myth";
import { ConfigurationError } from "../errors/index.js";
import { LineIndex } from "./LineIndex.js";
import { shorten, type ConfigurationFinding } from "./findings.js";
import { getReferenceFindings } from "./referenceFindings.js";
import {
  configurationSchema,
  maxConfigurationBytes,
  maxConfigurationItems,
  type Configuration,
} from "./schema.js";
import { getShapeFindings } from "./shapeFindings.js";

/**
 * Parses and validates a configuration file. The result depends on the text alone.
 * @param text - Text of the TOML file.
 * @returns The configuration, or an error with all findings.
 */
export function parseConfiguration(text: string): Result<Configuration, ConfigurationError> {
  const bytes = Buffer.byteLength(text, "utf8");
  if (bytes > maxConfigurationBytes) {
    return refuse([getSizeFinding(bytes)]);
  }
  return parseToml(text).andThen((file) => checkFile(file, text));
}

function parseToml(text: string): Result<unknown, ConfigurationError> {
  try {
    return Result.ok(parse(text, { unsafeKeyBehaviour: "throw" }));
  } catch (error) {
    return refuse([getSyntaxFinding(error, text)]);
  }
}

function checkFile(file: unknown, text: string): Result<Configuration, ConfigurationError> {
  const tooMany = getItemCountFindings(file);
  if (tooMany.length > 0) {
    return refuse(tooMany);
  }
  const parsed = configurationSchema.safeParse(file, { reportInput: true });
  const shapes = parsed.success ? [] : parsed.error.issues.flatMap(getShapeFindings);
  const references = getReferenceFindings(file);
  if (parsed.success && references.length === 0) {
    return Result.ok(parsed.data);
  }
  return refuse(addLines([...shapes, ...references], text));
}

function addLines(findings: readonly ConfigurationFinding[], text: string): ConfigurationFinding[] {
  const lines = LineIndex.create(text);
  return findings
    .map((finding) => ({ ...finding, line: lines.getLine(finding.path) }))
    .sort((a, b) => (a.line ?? 0) - (b.line ?? 0));
}

function getSizeFinding(bytes: number): ConfigurationFinding {
  return {
    kind: "size",
    path: "",
    value: `${String(bytes)} bytes`,
    message: "the file is too large",
    allowed: `at most ${String(maxConfigurationBytes)} bytes`,
  };
}

/** Limits the items before they are validated, so that a damaged file cannot block a daemon. */
function getItemCountFindings(file: unknown): ConfigurationFinding[] {
  return Object.entries(file ?? {})
    .filter((entry): entry is [string, unknown[]] => Array.isArray(entry[1]))
    .filter(([, items]) => items.length > maxConfigurationItems)
    .map(([key, items]) => ({
      kind: "size",
      path: shorten(key),
      value: `${String(items.length)} items`,
      message: "has too many items",
      allowed: `at most ${String(maxConfigurationItems)}`,
    }));
}

function getSyntaxFinding(error: unknown, text: string): ConfigurationFinding {
  const line = error instanceof TomlError ? error.line : undefined;
  const isAtEnd = line === text.split("\n").length && !text.endsWith("\n");
  const reason = error instanceof Error ? error.message.split("\n")[0] : undefined;
  return {
    kind: isAtEnd ? "truncated" : "syntax",
    path: "",
    line,
    message: isAtEnd
      ? `the file ends in the middle of a line: ${reason ?? "unreadable"}`
      : (reason ?? "unreadable"),
    allowed: "TOML 1.0",
  };
}

function refuse<Value>(
  findings: readonly ConfigurationFinding[],
): Result<Value, ConfigurationError> {
  return Result.err(new ConfigurationError(findings));
}
