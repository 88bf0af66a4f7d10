import { parseOptions, run } from "../process/index.js";
import { Service } from "./Service.js";
import { serviceOptionsSchema } from "./schema.js";

await run(Service.create(parseOptions(serviceOptionsSchema, process.argv.slice(2))));
