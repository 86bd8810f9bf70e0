// The logging library looks at this variable when it is loaded.
process.env.ROARR_LOG ??= "true";
