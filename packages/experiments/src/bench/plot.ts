import type { Deployment } from "./deployment.js";
import type { Scenario } from "./scenario.js";
import type { TrialResult } from "./trial.js";

const width = 1200;
const height = 500;

/**
 * Creates a self-contained SVG of the load of every engine over time; the bound is red.
 * @param deployment - Deployment of the run.
 * @param scenario - Scenario of the run.
 * @param result - Result of the run, with samples.
 */
export function createPlot(
  deployment: Deployment,
  scenario: Scenario,
  result: TrialResult,
): string {
  const { samples, policy } = result;
  const highest = Math.max(1, ...samples.flatMap(({ loads, bound }) => [...loads, bound]));
  const first = samples[0]?.at ?? 0;
  const span = Math.max(1, (samples.at(-1)?.at ?? 1) - first);
  const getPoint = (at: number, load: number): string =>
    `${(((at - first) / span) * width).toFixed(1)},${(height - (load / highest) * height).toFixed(1)}`;
  const engines = Array.from({ length: deployment.engineCount }, (_, engine) => {
    const points = samples.map(({ at, loads }) => getPoint(at, loads[engine] ?? 0)).join(" ");
    const hue = Math.round((engine * 360) / deployment.engineCount);
    return `<polyline fill="none" stroke="hsl(${String(hue)} 60% 50%)" points="${points}"/>`;
  });
  const bound = samples.map((sample) => getPoint(sample.at, sample.bound)).join(" ");
  const title = `${deployment.name}, ${scenario.name}, ${policy}: reuse ${result.cacheReuse.toFixed(3)}`;
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 -30 ${String(width)} ${String(height + 30)}">`,
    `<text y="-10">${title}, highest load ${String(highest)}</text>`,
    ...engines,
    `<polyline fill="none" stroke="red" stroke-width="2" points="${bound}"/>`,
    "</svg>",
  ].join("\n");
}
