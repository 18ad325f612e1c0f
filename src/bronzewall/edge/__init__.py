"""Request path of VMs whose instances come from service discovery."""
