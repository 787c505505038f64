"""What decides where requests go beside the module itself: pure, with the time as an argument."""
