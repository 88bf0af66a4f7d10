/** Number of retries that a daemon may use before its requests have earned them. */
export const initialRetries = 3;

/** Maximum number of retries that may be accumulated. */
export const maxSavedRetries = 50;

const unitsPerRetry = 1000;

/** Token bucket that requests fill and retries drain; a unit is a thousandth of a retry. */
export interface Budget {
  unitsPerRequest: number;
  units: number;
  requests: number;
  retries: number;
}

/**
 * Creates an empty budget.
 * @param ratio - Retries allowed per request.
 */
export function createBudget(ratio: number): Budget {
  return { unitsPerRequest: toUnits(ratio), units: 0, requests: 0, retries: 0 };
}

/**
 * Changes the ratio and keeps the units earned so far.
 * @param budget - Budget to change.
 * @param ratio - Retries allowed per request.
 */
export function setBudgetRatio(budget: Budget, ratio: number): void {
  budget.unitsPerRequest = toUnits(ratio);
}

/**
 * Counts a request and adds the fraction of a retry that it earns.
 * @param budget - Budget to change.
 */
export function addRequest(budget: Budget): void {
  budget.requests += 1;
  const earned = budget.units + budget.unitsPerRequest;
  budget.units = Math.min(earned, maxSavedRetries * unitsPerRetry);
}

/**
 * Spends one retry; returns false when the budget is exhausted.
 *
 * The initial retries are an overdraft that later requests pay back: of n requests at most the
 * larger of the initial retries and n times the ratio are sent again.
 * @param budget - Budget to change.
 */
export function spendRetry(budget: Budget): boolean {
  if (budget.units < unitsPerRetry && !hasInitialRetry(budget)) {
    return false;
  }
  budget.units -= unitsPerRetry;
  budget.retries += 1;
  return true;
}

function hasInitialRetry(budget: Budget): boolean {
  return budget.unitsPerRequest > 0 && budget.retries < initialRetries;
}

function toUnits(ratio: number): number {
  return Math.floor(ratio * unitsPerRetry);
}
