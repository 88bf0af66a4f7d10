import { RetryWindowBudget, type RetryWindowBudgetOptions } from "@pistachioway/kernel";

/** The retry budget of each service. */
export class ServiceBudgets {
  private readonly budgetsByService = new Map<string, RetryWindowBudget>();

  private constructor(private readonly terms: RetryWindowBudgetOptions) {}

  /**
   * Creates unused budgets.
   * @param terms - What the fleet may spend on each service.
   */
  static create(terms: RetryWindowBudgetOptions): ServiceBudgets {
    return new ServiceBudgets(terms);
  }

  /** Gets the budget of a service, creating it on first use. */
  get(service: string): RetryWindowBudget {
    let budget = this.budgetsByService.get(service);
    if (budget === undefined) {
      budget = RetryWindowBudget.create(this.terms);
      this.budgetsByService.set(service, budget);
    }
    return budget;
  }
}
