import { formatPath, type ConfigurationPath } from "./findings.js";

const headerPattern = /^\s*(\[\[?)\s*([A-Za-z0-9_.\- "']+?)\s*\]/;
const keyPattern = /^\s*([A-Za-z0-9_.\-"']+)\s*=/;

/** Maps the tables and keys of a TOML text to the lines on which they are defined. */
export class LineIndex {
  private readonly linesByPath = new Map<string, number>();
  private readonly lengthsByArray = new Map<string, number>();
  private table: ConfigurationPath = [];
  private openQuote: string | undefined;

  private constructor(text: string) {
    for (const [index, line] of text.split("\n").entries()) {
      this.addLine(line, index + 1);
    }
  }

  /**
   * Creates an index.
   * @param text - TOML text.
   */
  static create(text: string): LineIndex {
    return new LineIndex(text);
  }

  /**
   * Gets the line of a path, or of its nearest parent that has one.
   * @param path - Path as in `engines[2].zone`.
   */
  getLine(path: string): number | undefined {
    for (let parent = path; parent !== ""; parent = parent.replace(/(^|\.)[^.]*$/, "")) {
      const line = this.linesByPath.get(parent) ?? this.linesByPath.get(trimPosition(parent));
      if (line !== undefined) {
        return line;
      }
    }
    return undefined;
  }

  private addLine(line: string, number: number): void {
    if (this.openQuote === undefined) {
      this.addHeaderOrKey(line, number);
    }
    this.updateOpenQuote(line);
  }

  private addHeaderOrKey(line: string, number: number): void {
    const header = headerPattern.exec(line);
    if (header !== null) {
      this.table = this.getTablePath(splitKey(header[2] ?? ""), header[1] === "[[");
      this.addPath(this.table, number);
      return;
    }
    const key = keyPattern.exec(line);
    if (key !== null) {
      this.addPath([...this.table, ...splitKey(key[1] ?? "")], number);
    }
  }

  private getTablePath(keys: readonly string[], isArrayItem: boolean): ConfigurationPath {
    const path: (string | number)[] = [];
    for (const [index, key] of keys.entries()) {
      path.push(key);
      const array = formatPath(path);
      const length = this.lengthsByArray.get(array) ?? 0;
      const isNewItem = isArrayItem && index === keys.length - 1;
      if (isNewItem) {
        this.lengthsByArray.set(array, length + 1);
        path.push(length);
      } else if (length > 0) {
        path.push(length - 1);
      }
    }
    return path;
  }

  private addPath(path: ConfigurationPath, line: number): void {
    const key = formatPath(path);
    if (!this.linesByPath.has(key)) {
      this.linesByPath.set(key, line);
    }
  }

  private updateOpenQuote(line: string): void {
    for (const quote of line.match(/"""|'''/g) ?? []) {
      if (this.openQuote === undefined) {
        this.openQuote = quote;
      } else if (this.openQuote === quote) {
        this.openQuote = undefined;
      }
    }
  }
}

function splitKey(text: string): string[] {
  return text.split(".").map((part) => part.trim().replace(/^["']|["']$/g, ""));
}

function trimPosition(path: string): string {
  return path.replace(/\[\d+\]$/, "");
}
