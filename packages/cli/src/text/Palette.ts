/** Colours text with ANSI codes if the output is a terminal. */
export class Palette {
  private constructor(private readonly isColoured: boolean) {}

  /**
   * Creates a palette that colours only terminal output.
   * @param isTerminal - Whether the output is a terminal.
   * @param environment - Environment variables; a non-empty NO_COLOR turns colours off.
   */
  static create(isTerminal: boolean, environment: NodeJS.ProcessEnv): Palette {
    return new Palette(isTerminal && (environment.NO_COLOR ?? "") === "");
  }

  /** Formats a message that all is well. */
  success(text: string): string {
    return this.colour(text, ansiCodes.green);
  }

  /** Formats a message that needs attention. */
  warning(text: string): string {
    return this.colour(text, ansiCodes.red);
  }

  /** Formats a heading. */
  heading(text: string): string {
    return this.colour(text, ansiCodes.bold);
  }

  private colour(text: string, code: number): string {
    return this.isColoured ? `\u001B[${String(code)}m${text}\u001B[0m` : text;
  }
}

const ansiCodes = { bold: 1, red: 31, green: 32 } as const;
