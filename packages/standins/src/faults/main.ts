import { parseOptions, run } from "../process/index.js";
import { FaultProxy } from "./FaultProxy.js";
import { faultProxyOptionsSchema } from "./schema.js";

await run(FaultProxy.create(parseOptions(faultProxyOptionsSchema, process.argv.slice(2))));
