import { z } from "zod";
import { formatPath, formatValue, shorten, type ConfigurationPath } from "./findings.js";
import type { ConfigurationFinding } from "./findings.js";
import { configurationSchema } from "./schema.js";

type Issue = z.core.$ZodIssue;

/**
 * Gets the findings for one issue of the schema.
 * @param issue - Issue as the schema reports it, with its input.
 */
export function getShapeFindings(issue: Issue): ConfigurationFinding[] {
  const path = issue.path.map((part) => (typeof part === "symbol" ? String(part) : part));
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) => getUnknownKeyFinding(path, key));
  }
  const isMissing = issue.input === undefined;
  return [
    {
      kind: "shape",
      path: formatPath(path),
      value: isMissing ? undefined : formatValue(path, issue.input),
      message: isMissing ? "is missing" : getMessage(issue),
      allowed: getAllowed(issue),
    },
  ];
}

function getUnknownKeyFinding(path: ConfigurationPath, key: string): ConfigurationFinding {
  return {
    kind: "shape",
    path: formatPath([...path, key]),
    message: `"${shorten(key)}" is not a known key`,
    allowed: getKeys(path).join(", "),
  };
}

function getMessage(issue: Issue): string {
  switch (issue.code) {
    case "invalid_type":
      return "has the wrong type";
    case "too_small":
      return "is too small";
    case "too_big":
      return "is too large";
    default:
      return "is not allowed";
  }
}

function getAllowed(issue: Issue): string {
  switch (issue.code) {
    case "invalid_type":
      return issue.expected;
    case "too_small":
      return `at least ${String(issue.minimum)}${getUnit(issue.origin)}`;
    case "too_big":
      return `at most ${String(issue.maximum)}${getUnit(issue.origin)}`;
    case "invalid_value":
      return issue.values.map(String).join(", ");
    default:
      return issue.message;
  }
}

function getUnit(origin: string): string {
  return origin === "array" ? " item(s)" : origin === "string" ? " character(s)" : "";
}

/** Walks the schema along a path and lists the keys of the table there. */
function getKeys(path: ConfigurationPath): string[] {
  let schema: unknown = configurationSchema;
  for (const part of path) {
    const parent = unwrap(schema);
    if (parent instanceof z.ZodArray) {
      schema = parent.element;
    } else if (parent instanceof z.ZodObject) {
      schema = parent.shape[part];
    }
  }
  const table = unwrap(schema);
  return table instanceof z.ZodObject ? Object.keys(table.shape) : [];
}

function unwrap(schema: unknown): unknown {
  const isWrapped = schema instanceof z.ZodDefault || schema instanceof z.ZodOptional;
  return isWrapped ? unwrap(schema.unwrap()) : schema;
}
