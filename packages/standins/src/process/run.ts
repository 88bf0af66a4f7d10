import { parseArgs } from "node:util";
import { z } from "zod";
import { InvalidOptionError } from "../errors/index.js";

/** A stand-in that can run as a separate process. */
export interface Standin {
  readonly name: string;
  /** Binds the listener and returns its address. */
  listen(): Promise<string>;
  close(): Promise<void>;
}

/**
 * Parses `--name value` arguments into the options of a stand-in.
 *
 * Names are in kebab case (`--token-milliseconds 5`). A value that is valid JSON is parsed, any
 * other is text.
 * @param schema - Schema of the options.
 * @param args - Arguments of the command line.
 * @throws InvalidOptionError when an option is unknown or its value is invalid.
 */
export function parseOptions<Shape extends z.ZodRawShape>(
  schema: z.ZodObject<Shape>,
  args: readonly string[],
): z.output<z.ZodObject<Shape>> {
  const values: Record<string, unknown> = {};
  for (const [option, value] of Object.entries(readOptionValues(schema, args))) {
    values[toCamelCase(option)] = parseOptionValue(value);
  }
  const result = schema.safeParse(values);
  if (!result.success) {
    const issue = result.error.issues[0];
    throw new InvalidOptionError(issue?.path.join(".") ?? "", issue?.message ?? "is not valid");
  }
  return result.data;
}

/**
 * Runs a stand-in until SIGTERM or SIGINT and prints its ready line on standard output.
 * @param standin - Stand-in to run.
 */
export async function run(standin: Standin): Promise<void> {
  const address = await standin.listen();
  const stop = () => {
    void standin.close().then(() => process.exit(0));
  };
  process.once("SIGTERM", stop);
  process.once("SIGINT", stop);
  process.stdout.write(`${JSON.stringify({ ready: { name: standin.name, address } })}\n`);
}

function readOptionValues(
  schema: z.ZodObject,
  args: readonly string[],
): Record<string, string | undefined> {
  const options = Object.fromEntries(
    Object.keys(schema.shape).map((key) => [toKebabCase(key), { type: "string" as const }]),
  );
  try {
    return parseArgs({ args: [...args], options }).values;
  } catch (error) {
    throw new InvalidOptionError(args.join(" "), (error as Error).message);
  }
}

function parseOptionValue(text: string | undefined): unknown {
  try {
    return JSON.parse(text ?? "") as unknown;
  } catch {
    return text;
  }
}

function toKebabCase(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}

function toCamelCase(name: string): string {
  return name.replace(/-([a-z])/g, (_match, letter: string) => letter.toUpperCase());
}
