/** Limits retries to a share of the answered requests, so that retries add little load to a failing service. */

import { maximumRetryBalance, retryShare } from "./constants";

export class RetryBudget {
    private balance = maximumRetryBalance;

    /** Credits an answered request with its share of a retry. */
    deposit(): void {
        this.balance = Math.min(maximumRetryBalance, this.balance + retryShare);
    }

    /** Spends one retry; false when the balance is below one. */
    tryWithdraw(): boolean {
        if (this.balance < 1) {
            return false;
        }
        this.balance -= 1;
        return true;
    }
}
