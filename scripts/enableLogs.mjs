// The logging library reads this variable when it is loaded.
process.env.ROARR_LOG ??= "true";
