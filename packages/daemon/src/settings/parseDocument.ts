import { parse, TomlError } from "smol-toml";
import { Result } from "true-myth";
import type { z } from "zod";
import { SettingsError, type SettingsIssue } from "../errors/SettingsError.js";

/**
 * Parses a settings file and validates it against a schema. The error lists all issues.
 * @param text - Text of the TOML file.
 * @param file - Name of the file, used in messages.
 * @param schema - Schema of the settings.
 */
export function parseDocument<T>(
  text: string,
  file: string,
  schema: z.ZodType<T>,
): Result<T, SettingsError> {
  const document = parseToml(text);
  if (document.isErr) {
    return Result.err(SettingsError.create(file, [document.error]));
  }
  const checked = schema.safeParse(document.value);
  if (checked.success) {
    return Result.ok(checked.data);
  }
  const issues = checked.error.issues.map((issue) => toSettingsIssue(issue, document.value, text));
  return Result.err(SettingsError.create(file, issues));
}

/**
 * Checks whether a settings file is for a router: only those have a `registry` table.
 * @param text - Text of the TOML file.
 */
export function isRouterSettings(text: string): boolean {
  return parseToml(text).match({
    Ok: (document) => typeof document === "object" && document !== null && "registry" in document,
    Err: () => false,
  });
}

function parseToml(text: string): Result<unknown, SettingsIssue> {
  try {
    return Result.ok(parse(text));
  } catch (error) {
    if (!(error instanceof TomlError)) {
      throw error;
    }
    const [summary = "invalid TOML"] = error.message.split("\n");
    return Result.err({ path: "", line: error.line, allowed: summary, value: undefined });
  }
}

function toSettingsIssue(issue: z.core.$ZodIssue, document: unknown, text: string): SettingsIssue {
  const keys = issue.code === "unrecognized_keys" ? [...issue.path, ...issue.keys] : issue.path;
  const path = keys.map(String);
  const value = isSecretPath(path) ? "(hidden)" : getValueAt(document, path);
  return { path: path.join("."), line: findLine(text, path), allowed: issue.message, value };
}

function isSecretPath(path: readonly string[]): boolean {
  return path.join(".") === "peers.key";
}

function getValueAt(document: unknown, path: readonly string[]): unknown {
  let value: unknown = document;
  for (const key of path) {
    if (typeof value !== "object" || value === null) {
      return undefined;
    }
    value = (value as Record<string, unknown>)[key];
  }
  return value;
}

/** Finds the line of a key, or of its table if the key is absent. */
function findLine(text: string, path: readonly string[]): number | undefined {
  const [table, key] = path;
  const lines = text.split("\n");
  const tableLine = lines.findIndex((line) => line.trim() === `[${table ?? ""}]`);
  if (tableLine < 0 || key === undefined) {
    return tableLine < 0 ? undefined : tableLine + 1;
  }
  for (let index = tableLine + 1; index < lines.length; index += 1) {
    const line = lines[index]?.trim() ?? "";
    if (line.startsWith("[")) {
      break;
    }
    if (line.split("=")[0]?.trim() === key) {
      return index + 1;
    }
  }
  return tableLine + 1;
}
