import { DaemonError } from "./DaemonError.js";

/** An invalid or missing value in a settings file. */
export interface SettingsIssue {
  /** Dotted path of the key; empty when the file is not TOML. */
  readonly path: string;
  /** Line of the key, counted from 1, if known. */
  readonly line: number | undefined;
  /** Description of the allowed values. */
  readonly allowed: string;
  /** The value found. */
  readonly value: unknown;
}

/** An error for an invalid settings file that lists every issue found. */
export class SettingsError extends DaemonError {
  readonly code = "invalid-settings";

  private constructor(
    readonly file: string,
    readonly issues: readonly SettingsIssue[],
  ) {
    super(issues.map((issue) => toLine(file, issue)).join("\n"));
  }

  /**
   * Creates the error.
   * @param file - Name of the settings file.
   * @param issues - Every issue found.
   */
  static create(file: string, issues: readonly SettingsIssue[]): SettingsError {
    return new SettingsError(file, issues);
  }
}

function toLine(file: string, issue: SettingsIssue): string {
  const place = issue.line === undefined ? file : `${file}:${String(issue.line)}`;
  if (issue.path === "") {
    return `${place}: ${issue.allowed}`;
  }
  return `${place}: setting "${issue.path}" is ${JSON.stringify(issue.value) ?? "missing"}: ${issue.allowed}`;
}
