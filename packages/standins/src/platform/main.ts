import { parseOptions, run } from "../process/index.js";
import { Platform } from "./Platform.js";
import { platformOptionsSchema } from "./schema.js";

await run(Platform.create(parseOptions(platformOptionsSchema, process.argv.slice(2))));
