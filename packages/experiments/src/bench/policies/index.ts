import type { PlacementStrategyName } from "@pistachioway/kernel";
import {
  createLeastLoadPolicy,
  createOraclePolicy,
  createPlainHashPolicy,
  createRandomPolicy,
} from "./baselines.js";
import { KernelPolicy } from "./KernelPolicy.js";
import type { PolicyFactory } from "./Policy.js";

/** Factories of all policies, by the policy name in the results. */
export const policyFactories: ReadonlyMap<string, PolicyFactory> = new Map<string, PolicyFactory>([
  ["random", createRandomPolicy],
  ["least-load", createLeastLoadPolicy],
  ["plain-hash", createPlainHashPolicy],
  ["oracle", createOraclePolicy],
  ["local-share", createKernelFactory("local-share")],
  ["digest", createKernelFactory("digest")],
  ["owner", createKernelFactory("owner")],
  ["ours", createKernelFactory("ours")],
]);

function createKernelFactory(strategy: PlacementStrategyName): PolicyFactory {
  return (fleet) => KernelPolicy.create(strategy, fleet, strategy);
}
