import { suite } from "uvu";
import { largeFleet } from "./deployments.js";
import { addPartitionTests } from "./partitionPlays.js";

const test = suite("partition of daemons from upstreams over many daemons");

addPartitionTests(test, { ...largeFleet, seeds: [1], upstreams: 88, rate: 800 });

test.run();
