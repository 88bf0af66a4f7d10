/** Colours text for a terminal, or leaves it as it is. */
export class Palette {
  private constructor(private readonly isColoured: boolean) {}

  /**
   * Creates a palette that colours only where a terminal shows it.
   * @param isTerminal - Whether the output is a terminal.
   * @param environment - Environment, of which NO_COLOR is heeded.
   */
  static create(isTerminal: boolean, environment: NodeJS.ProcessEnv): Palette {
    return new Palette(isTerminal && (environment.NO_COLOR ?? "") === "");
  }

  /** Marks what is as it should be. */
  success(text: string): string {
    return this.colour(text, ansiCodes.green);
  }

  /** Marks what needs attention. */
  warning(text: string): string {
    return this.colour(text, ansiCodes.red);
  }

  /** Marks a heading. */
  heading(text: string): string {
    return this.colour(text, ansiCodes.bold);
  }

  private colour(text: string, code: number): string {
    return this.isColoured ? `\u001B[${String(code)}m${text}\u001B[0m` : text;
  }
}

const ansiCodes = { bold: 1, red: 31, green: 32 } as const;
