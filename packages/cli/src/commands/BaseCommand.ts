import { Command } from "@oclif/core";
import { exitCodes, type ExitCode } from "../exitCodes.js";
import { CliError } from "../errors/index.js";

type CaughtError = Parameters<Command["catch"]>[0];

/** Base class of the commands: prints JSON when `--json` is given and sets the exit code. */
export abstract class BaseCommand extends Command {
  static override enableJsonFlag = true;

  /** Sets the exit code of the process, unless a higher one is already set. */
  protected raiseExitCode(code: ExitCode): void {
    process.exitCode = Math.max(Number(process.exitCode ?? exitCodes.ok), code);
  }

  protected override async catch(error: CaughtError): Promise<unknown> {
    this.raiseExitCode(getExitCode(error));
    if (this.jsonEnabled()) {
      this.logJson({ error: { code: getErrorCode(error), message: error.message } });
      return undefined;
    }
    if (error instanceof CliError) {
      this.logToStderr(`error: ${error.message}`);
      return undefined;
    }
    return super.catch(error);
  }
}

function getExitCode(error: CaughtError): ExitCode {
  return error instanceof CliError || "oclif" in error ? exitCodes.usage : exitCodes.internal;
}

function getErrorCode(error: CaughtError): string {
  if (error instanceof CliError) {
    return error.code;
  }
  return "oclif" in error ? "usage" : "internal";
}
