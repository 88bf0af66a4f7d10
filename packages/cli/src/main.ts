import { Config, Errors, flush, run } from "@oclif/core";
import { fileURLToPath } from "node:url";
import { exitCodes } from "./exitCodes.js";

const packageFolder = fileURLToPath(new URL("..", import.meta.url));

/** Settings that oclif otherwise reads from package.json; with them no manifest has to be generated. */
const packageDescription = {
  name: "pistachioway",
  version: "0.1.0",
  description: "Checks configurations and shows the state of a pistachioway fleet.",
  oclif: {
    bin: "pistachioway",
    topicSeparator: " " as const,
    commands: {
      strategy: "explicit" as const,
      target: "./dist/commands/index.js",
      identifier: "commands",
    },
    topics: {
      config: { description: "Check and compare configuration files." },
      router: {
        description:
          "Check published configurations, show the state of routers, explain requests from their logs.",
      },
      settings: { description: "Check the settings of a daemon." },
    },
  },
};

/**
 * Runs the command line and sets the exit code of the process.
 * @param argv - Arguments after the name of the program.
 */
export async function runCommandLine(argv: string[]): Promise<void> {
  try {
    const config = await Config.load({ root: packageFolder, pjson: packageDescription });
    await run(argv, config);
    await flush();
  } catch (error) {
    await handleError(error instanceof Error ? error : new Error(String(error)));
  }
}

/** Reports an error; one that was not thrown by oclif is an internal error of the command line. */
async function handleError(error: Error): Promise<void> {
  const reported = "oclif" in error ? error : Object.assign(error, internalError);
  await Errors.handle(reported as Parameters<typeof Errors.handle>[0]);
}

const internalError = { oclif: { exit: exitCodes.internal } };
