import { RetryWindowBudget, type RetryWindowBudgetOptions } from "@pistachioway/kernel";

/** The retry budget of each service. */
export class RetryBudgets {
  private readonly budgetsByService = new Map<string, RetryWindowBudget>();

  private constructor(private readonly options: RetryWindowBudgetOptions) {}

  /**
   * Creates unused budgets.
   * @param options - Limits of the retries that the fleet may spend on each service.
   */
  static create(options: RetryWindowBudgetOptions): RetryBudgets {
    return new RetryBudgets(options);
  }

  /** Gets the budget of a service, creating it on first use. */
  get(service: string): RetryWindowBudget {
    let budget = this.budgetsByService.get(service);
    if (budget === undefined) {
      budget = RetryWindowBudget.create(this.options);
      this.budgetsByService.set(service, budget);
    }
    return budget;
  }
}
