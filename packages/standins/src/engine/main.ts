import { parseOptions, run } from "../process/index.js";
import { Engine } from "./Engine.js";
import { engineOptionsSchema } from "./schema.js";

await run(Engine.create(parseOptions(engineOptionsSchema, process.argv.slice(2))));
