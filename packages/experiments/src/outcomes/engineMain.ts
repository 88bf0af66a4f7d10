import { engineArgumentsSchema } from "./schema.js";
import { Engine } from "./Engine.js";

/** Runs an engine as a process of its own; it prints one line for each run and each fault. */
const { port, ...options } = engineArgumentsSchema.parse(JSON.parse(process.argv[2] ?? "{}"));
const engine = Engine.create(options, {
  // Standard output is a pipe, so the line is written before the work begins.
  onRun: (id) => process.stdout.write(`event=run request=${id}\n`),
  onFault: (id, variant) => process.stdout.write(`event=fault request=${id} variant=${variant}\n`),
});
process.stdout.write(`event=listening port=${String(await engine.listen(port))}\n`);
